/*
 * A libFuzzer target for the readers of what people write: the operators'
 * language, the settings and the configuration.  The first byte chooses.
 */
#include "caro_settings.h"
#include "internal/caro_command.h"
#include "internal/caro_config.h"
#include "internal/caro_orders.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
fuzz_text(const char *text, uint8_t kind)
{
    static CaroCommand command;
    CaroError err;
    CaroTicket ticket;
    if (kind == 0) {
        (void)CaroCommand_Parse(text, 1700000000000, &command, &err);
    }
    else {
        (void)CaroTicket_Parse(text, "secret", &ticket, &err);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static CaroSettings settings;
    CaroError err;
    if (size == 0) {
        return 0;
    }
    char *text = malloc(size);
    if (text == NULL) {
        return 0;
    }
    memcpy(text, data + 1, size - 1);
    text[size - 1] = '\0';
    switch (data[0] % 4) {
    case 0:
    case 1:
        fuzz_text(text, data[0] % 4);
        break;
    case 2:
        (void)CaroSettings_Parse(text, size - 1, "fuzz", &settings, &err);
        break;
    default:
        CaroConfig_Destroy(CaroConfig_Parse(text, size - 1, 1, &err));
        break;
    }
    free(text);
    return 0;
}
