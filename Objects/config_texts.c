/* The latest configurations as the operators wrote them. */
#include "internal/caro_config_texts.h"

#include <stdlib.h>
#include <string.h>
#include <zstd.h>

enum {
    TEXTS_MAX = 3,
    LEVEL = 1,
    /* 2 MB: the largest text with another as its prefix. */
    WINDOW_BITS = 21
};

typedef struct {
    CaroRevision revision;
    char *bytes; /* Terminated. */
    size_t size;
    char *frame; /* The newest text based on this one; NULL until needed. */
    size_t frame_size;
} Text;

struct CaroConfigTexts {
    Text texts[TEXTS_MAX]; /* The newest first. */
    int n;
    char *frame; /* The newest text based on none; likewise. */
    size_t frame_size;
};

CaroConfigTexts *
CaroConfigTexts_Create(void)
{
    return calloc(1, sizeof(CaroConfigTexts));
}

static void
drop_frames(CaroConfigTexts *t)
{
    for (int i = 0; i < t->n; i++) {
        free(t->texts[i].frame);
        t->texts[i].frame = NULL;
    }
    free(t->frame);
    t->frame = NULL;
}

void
CaroConfigTexts_Destroy(CaroConfigTexts *t)
{
    if (t == NULL) {
        return;
    }
    drop_frames(t);
    for (int i = 0; i < t->n; i++) {
        free(t->texts[i].bytes);
    }
    free(t);
}

int
CaroConfigTexts_Add(CaroConfigTexts *t, const char *bytes, size_t size,
                    CaroRevision revision)
{
    char *copy = malloc(size + 1);
    if (copy == NULL) {
        return CARO_ERR_NOMEM;
    }
    memcpy(copy, bytes, size);
    copy[size] = '\0';
    drop_frames(t);
    if (t->n == TEXTS_MAX) {
        free(t->texts[--t->n].bytes);
    }
    memmove(&t->texts[1], &t->texts[0], (size_t)t->n * sizeof(Text));
    t->texts[0] = (Text){.revision = revision, .bytes = copy, .size = size};
    t->n++;
    return 0;
}

void
CaroConfigTexts_SetRevision(CaroConfigTexts *t, CaroRevision revision)
{
    if (t->n > 0) {
        t->texts[0].revision = revision;
    }
}

const char *
CaroConfigTexts_Newest(const CaroConfigTexts *t, size_t *size)
{
    *size = t->n == 0 ? 0 : t->texts[0].size;
    return t->n == 0 ? NULL : t->texts[0].bytes;
}

static int
find_text(const CaroConfigTexts *t, CaroRevision revision)
{
    for (int i = 0; i < t->n; i++) {
        if (t->texts[i].revision == revision) {
            return i;
        }
    }
    return -1;
}

/* Compresses a text, based on another unless that is NULL.  Returns a frame to
   be freed, or NULL. */
static char *
compress_text(const Text *text, const Text *base, size_t *size)
{
    size_t bound = ZSTD_compressBound(text->size);
    char *frame = malloc(bound);
    ZSTD_CCtx *c = ZSTD_createCCtx();
    size_t n = 0;
    bool is_done = false;
    if (frame != NULL && c != NULL) {
        (void)ZSTD_CCtx_setParameter(c, ZSTD_c_compressionLevel, LEVEL);
        (void)ZSTD_CCtx_setParameter(c, ZSTD_c_checksumFlag, 1);
        if (base != NULL) {
            (void)ZSTD_CCtx_setParameter(c, ZSTD_c_windowLog, WINDOW_BITS);
            (void)ZSTD_CCtx_setParameter(c, ZSTD_c_enableLongDistanceMatching,
                                         1);
            (void)ZSTD_CCtx_refPrefix(c, base->bytes, base->size);
        }
        n = ZSTD_compress2(c, frame, bound, text->bytes, text->size);
        is_done = !ZSTD_isError(n);
    }
    (void)ZSTD_freeCCtx(c);
    if (!is_done) {
        free(frame);
        return NULL;
    }
    *size = n;
    char *shrunk = realloc(frame, n);
    return shrunk == NULL ? frame : shrunk;
}

int
CaroConfigTexts_Pack(CaroConfigTexts *t, CaroRevision base,
                     caro_packed_config *out)
{
    if (t->n == 0) {
        return CARO_ERR_STATE;
    }
    int at = base == 0 ? -1 : find_text(t, base);
    char **frame = at < 0 ? &t->frame : &t->texts[at].frame;
    size_t *size = at < 0 ? &t->frame_size : &t->texts[at].frame_size;
    if (*frame == NULL) {
        *frame =
            compress_text(&t->texts[0], at < 0 ? NULL : &t->texts[at], size);
    }
    if (*frame == NULL) {
        return CARO_ERR_NOMEM;
    }
    *out = (caro_packed_config){.revision = (uint64_t)t->texts[0].revision,
                                .base = at < 0 ? 0 : (uint64_t)base,
                                .size = (uint32_t)t->texts[0].size};
    out->frame.frame_val = *frame;
    out->frame.frame_len = (u_int)*size;
    return 0;
}

int
CaroConfigTexts_Unpack(const CaroConfigTexts *t,
                       const caro_packed_config *packed, char **text,
                       size_t *size)
{
    int at = packed->base == 0 ? -1 : find_text(t, (CaroRevision)packed->base);
    if (packed->base != 0 && at < 0) {
        return CARO_ERR_STATE;
    }
    if (packed->size > CARO_CONFIG_MAX) {
        return CARO_ERR_INPUT;
    }
    char *bytes = malloc((size_t)packed->size + 1);
    ZSTD_DCtx *d = ZSTD_createDCtx();
    if (bytes == NULL || d == NULL) {
        free(bytes);
        (void)ZSTD_freeDCtx(d);
        return CARO_ERR_NOMEM;
    }
    if (at >= 0) {
        (void)ZSTD_DCtx_refPrefix(d, t->texts[at].bytes, t->texts[at].size);
    }
    size_t n =
        ZSTD_decompressDCtx(d, bytes, packed->size, packed->frame.frame_val,
                            packed->frame.frame_len);
    (void)ZSTD_freeDCtx(d);
    if (ZSTD_isError(n) || n != packed->size) {
        free(bytes);
        return CARO_ERR_INPUT;
    }
    bytes[n] = '\0';
    *text = bytes;
    *size = n;
    return 0;
}
