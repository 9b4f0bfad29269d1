/*
 * NAME
 *     caro_http_chars - classes of characters in HTTP/1.1
 *
 * SOURCE
 *     RFC 9110, sections 5.5 and 5.6; RFC 3986, sections 2 and 3.
 */
#ifndef CARO_HTTP_CHARS_H
#define CARO_HTTP_CHARS_H

#include <stdbool.h>

/* tchar */
bool CaroHttpChar_IsToken(char c);

/* VCHAR, obs-text, space or tab: what a field value consists of. */
bool CaroHttpChar_IsFieldText(char c);

/* qdtext: a character of a quoted string that stands for itself. */
bool CaroHttpChar_IsQuotedText(char c);

/* The value of a hexadecimal digit, or -1. */
int CaroHttpChar_HexValue(char c);

/* pchar, "/" or "%"; in a query also "?" and the characters that URIs should
   encode but often do not. */
bool CaroHttpChar_IsPath(char c);
bool CaroHttpChar_IsQuery(char c);

/* A character of uri-host [":" port]. */
bool CaroHttpChar_IsHost(char c);

#endif
