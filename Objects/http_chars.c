/* Classes of characters in HTTP/1.1, by a table of flags. */
#include "internal/caro_http_chars.h"

enum {
    IS_TOKEN = 1 << 0,
    IS_FIELD_TEXT = 1 << 1,
    IS_PATH = 1 << 2,
    IS_QUERY = 1 << 3,
    IS_HOST = 1 << 4
};

#define ALNUM (IS_TOKEN | IS_FIELD_TEXT | IS_PATH | IS_QUERY | IS_HOST)
/* Characters of URIs that are also characters of tokens, or are not. */
#define URI_TOKEN ALNUM
#define URI_ONLY (IS_FIELD_TEXT | IS_PATH | IS_QUERY | IS_HOST)
#define QUERY_ONLY (IS_FIELD_TEXT | IS_QUERY)

static const unsigned char classes[256] = {
    ['0' ... '9'] = ALNUM,
    ['A' ... 'Z'] = ALNUM,
    ['a' ... 'z'] = ALNUM,
    ['\t'] = IS_FIELD_TEXT,
    [' '] = IS_FIELD_TEXT,
    [0x80 ... 0xff] = IS_FIELD_TEXT,
    ['!'] = URI_TOKEN,
    ['$'] = URI_TOKEN,
    ['%'] = URI_TOKEN,
    ['&'] = URI_TOKEN,
    ['\''] = URI_TOKEN,
    ['*'] = URI_TOKEN,
    ['+'] = URI_TOKEN,
    ['-'] = URI_TOKEN,
    ['.'] = URI_TOKEN,
    ['_'] = URI_TOKEN,
    ['~'] = URI_TOKEN,
    ['('] = URI_ONLY,
    [')'] = URI_ONLY,
    [','] = URI_ONLY,
    [':'] = URI_ONLY,
    [';'] = URI_ONLY,
    ['='] = URI_ONLY,
    ['@'] = IS_FIELD_TEXT | IS_PATH | IS_QUERY,
    ['/'] = IS_FIELD_TEXT | IS_PATH | IS_QUERY,
    ['?'] = QUERY_ONLY,
    ['"'] = QUERY_ONLY,
    ['<'] = QUERY_ONLY,
    ['>'] = QUERY_ONLY,
    ['['] = QUERY_ONLY | IS_HOST,
    [']'] = QUERY_ONLY | IS_HOST,
    ['{'] = QUERY_ONLY,
    ['}'] = QUERY_ONLY,
    ['^'] = QUERY_ONLY | IS_TOKEN,
    ['`'] = QUERY_ONLY | IS_TOKEN,
    ['|'] = QUERY_ONLY | IS_TOKEN,
    ['#'] = IS_FIELD_TEXT | IS_TOKEN,
    ['\\'] = IS_FIELD_TEXT,
};

static bool
has_class(char c, unsigned char flag)
{
    return (classes[(unsigned char)c] & flag) != 0;
}

bool
CaroHttpChar_IsToken(char c)
{
    return has_class(c, IS_TOKEN);
}

bool
CaroHttpChar_IsFieldText(char c)
{
    return has_class(c, IS_FIELD_TEXT);
}

bool
CaroHttpChar_IsQuotedText(char c)
{
    return has_class(c, IS_FIELD_TEXT) && c != '"' && c != '\\';
}

int
CaroHttpChar_HexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

bool
CaroHttpChar_IsPath(char c)
{
    return has_class(c, IS_PATH);
}

bool
CaroHttpChar_IsQuery(char c)
{
    return has_class(c, IS_QUERY);
}

bool
CaroHttpChar_IsHost(char c)
{
    return has_class(c, IS_HOST);
}
