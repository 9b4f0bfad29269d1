# carobloft: build, tests, measurements.
#
#   make          build the library and the programs
#   make demo     run a small fleet and kill an engine
#   make test     run all tests, under sanitizers
#   make lint     check the format, run the linter
#   make bench-*  run a measurement; see README

CC = gcc
BUILD = build
SANFLAGS =
ifeq ($(SAN),1)
BUILD = build-san
SANFLAGS = -fsanitize=address,undefined -fno-sanitize-recover=all
endif

PACKAGES = libevent libtirpc jansson argtable2 log4c gsl libxxhash libcrypto \
           libzstd
PKG_CFLAGS := $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES) 2>/dev/null)
CFLAGS = -std=c11 -O2 -g -D_GNU_SOURCE -Wall -Wextra -Werror $(SANFLAGS) \
         -fno-omit-frame-pointer
CPPFLAGS = -IInclude -IProtocol -ITools/fake $(PKG_CFLAGS)
LDLIBS = $(PKG_LIBS) -lm

LIB_SRC := $(wildcard Objects/*.c Controllers/*.c Parser/*.c Modules/*.c \
             Filters/*.c platform/*.c)
GEN_SRC := Protocol/caro_peer_xdr.c
FAKE_SRC := $(wildcard Tools/fake/*.c)
BENCH_SRC := $(wildcard Tools/bench/*.c)
TEST_SRC := $(wildcard Test/test_*.c)
PROGRAMS := carobloftd caro carobench carofake

LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o) $(GEN_SRC:%.c=$(BUILD)/%.o)
FAKE_OBJ := $(FAKE_SRC:%.c=$(BUILD)/%.o)
BENCH_OBJ := $(BENCH_SRC:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/libcarobloft.a
BINS := $(PROGRAMS:%=$(BUILD)/%)
TESTS := $(TEST_SRC:Test/%.c=$(BUILD)/Test/%)

all: $(LIB) $(BINS)

$(BUILD)/Protocol/%.o: CFLAGS += -Wno-unused-variable
$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/carobloftd: $(BUILD)/Programs/carobloftd.o $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/caro: $(BUILD)/Programs/caro.o $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/carobench: $(BUILD)/Programs/carobench.o $(BENCH_OBJ) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/carofake: $(BUILD)/Programs/carofake.o $(FAKE_OBJ) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/Test/%: $(BUILD)/Test/%.o $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS) -lcmocka

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

# Runs the tests under the address and undefined-behaviour sanitizers.  The
# deterministic measurements use the build without them.
test:
	$(MAKE) -j8 SAN=1 all unit-tests
	$(MAKE) -j8 all
	BIN=build-san Test/run.sh

unit-tests: $(TESTS)

# Installs the dependencies, builds and runs the demo.
demo:
	Tools/install-deps
	$(MAKE) -j8 all
	Tools/demo.sh

fuzz:
	bash Test/fuzz_run.sh

model:
	Tools/models/check.sh

bench-decisions: all
	$(BUILD)/carobench decisions all

bench-rollout: all
	$(BUILD)/carobench rollouts day
	$(BUILD)/carobench rollouts compare

bench-resume: all
	bash Test/proc_faults.sh

bench-orders: all
	bash Test/proc_orders.sh

bench-membership: all
	$(BUILD)/carobench membership

# Regenerates the XDR code from caro_peer.x; the generated files are committed.
protocol:
	cd Protocol && rm -f caro_peer.h caro_peer_xdr.c && \
	    rpcgen -h -o caro_peer.h caro_peer.x && \
	    rpcgen -c -o caro_peer_xdr.c caro_peer.x

FORMATTED := $(wildcard Include/*.h Include/internal/*.h Filters/*.h \
               Tools/fake/*.h Tools/bench/*.h Test/*.h) $(LIB_SRC) $(FAKE_SRC) \
               $(BENCH_SRC) $(wildcard Programs/*.c Test/*.c)

format:
	clang-format -i $(FORMATTED)

lint:
	clang-format --dry-run --Werror $(FORMATTED)
	printf '%s\n' $(LIB_SRC) $(FAKE_SRC) $(BENCH_SRC) \
	    $(wildcard Programs/*.c) | xargs -P 8 -n 1 sh -c \
	    'clang-tidy --quiet "$$@" -- -std=c11 -D_GNU_SOURCE \
	    $(CPPFLAGS) 2>/dev/null' lint

clean:
	rm -rf build build-san build-fuzz target

# Directory of the programs, for the scripts.
export BIN = $(BUILD)

.PHONY: bench-rollout bench-resume bench-orders fuzz bench-membership model bench-decisions all demo test unit-tests protocol format lint clean
.SECONDARY:
