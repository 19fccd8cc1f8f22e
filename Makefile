# gentianscale: see README.md. demo, check, prove and mutants first install what a fresh Debian
# machine lacks (tools/setup).
PACKAGES := libulfius libmicrohttpd libcurl jansson libzmq msgpack yaml-0.1 glib-2.0 libsodium libxxhash
MODE ?= release
B := build/$(MODE)
WARNINGS := -Wall -Wextra -Werror -Wshadow -Wno-missing-field-initializers
CFLAGS_release := -O2 -g
CFLAGS_asan := -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer
PKG_CFLAGS := $(shell pkg-config --cflags $(PACKAGES))
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES))
CPPFLAGS = -D_GNU_SOURCE $(PKG_CFLAGS)
CFLAGS = -std=gnu11 $(CFLAGS_$(MODE)) $(WARNINGS)
CXXFLAGS = -std=c++17 $(CFLAGS_$(MODE)) -Wall -Wextra
CHECK_LIBS := $(shell pkg-config --libs check)
LDLIBS = $(PKG_LIBS) -lhttp_parser -lev -lm -lpthread

LIB_SOURCES := $(wildcard src/gentian/*/*.c) $(wildcard platform/*.c)
LIB_OBJECTS := $(LIB_SOURCES:%.c=$(B)/%.o)
LIBRARY := $(B)/libgentianscale.a
PROGRAMS := $(B)/gentianscaled $(B)/gentianctl
STANDINS := $(patsubst test/standin/%.c,$(B)/standin/%,$(wildcard test/standin/*.c))
UNIT_TESTS := $(patsubst test/unit/%.c,$(B)/unit/%,$(wildcard test/unit/test_*.c))
PROPERTY_TESTS := $(patsubst test/property/%.cpp,$(B)/property/%,$(wildcard test/property/prop_*.cpp))
BENCHES := $(patsubst bench/%.c,$(B)/bench/%,$(wildcard bench/bench_*.c))
FUZZERS := $(patsubst test/fuzz/%.c,build/fuzz/%,$(wildcard test/fuzz/fuzz_*.c))

.PHONY: all native setup demo check prove bench-config bench-hop bench-detection bench-routing bench-slopes clean units properties fuzzers mutants
.SECONDARY:

all: $(PROGRAMS) $(STANDINS)

# The daemon for the users' platform, which starts target/gentianscaled (deploy/system.toml).
native: $(B)/gentianscaled
	@mkdir -p target
	cp $< target/gentianscaled.new && mv target/gentianscaled.new target/gentianscaled

setup:
	@tools/setup

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(B)/%.o: %.cpp
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(LIBRARY): $(LIB_OBJECTS)
	@rm -f $@
	ar rcs $@ $^

$(B)/gentianscaled: $(B)/src/gentianscaled/main.o $(LIBRARY)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(B)/gentianctl: $(B)/src/gentianctl/main.o $(LIBRARY)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(B)/standin/%: $(B)/test/standin/%.o $(LIBRARY)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

LAB_OBJECTS := $(B)/test/lab/lab.o

$(B)/unit/%: $(B)/test/unit/%.o $(LAB_OBJECTS) $(LIBRARY)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $^ $(CHECK_LIBS) $(LDLIBS)

# It runs the program.
$(B)/unit/test_gentianctl: | $(B)/gentianctl

$(B)/property/%: $(B)/test/property/%.o $(LIBRARY)
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -o $@ $^ -lrapidcheck $(LDLIBS)

$(B)/bench/%: $(B)/bench/%.o $(B)/bench/fake_pool.o $(LIBRARY)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

build/fuzz/%: test/fuzz/%.c $(LIB_SOURCES)
	@mkdir -p $(@D)
	clang $(CPPFLAGS) -std=gnu11 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -o $@ $< \
	  $(filter src/gentian/core/% src/gentian/access/% src/gentian/quota/% src/gentian/fairness/% src/gentian/cost/% src/gentian/slices/% src/gentian/rejoin/% src/gentian/config/% src/gentian/store/msgpack_io% src/gentian/store/record% src/gentian/store/store% src/gentian/log/counter% src/gentian/log/log% src/gentian/peer/wire% src/gentian/http/answer_parser% src/gentian/http/request_reader% src/gentian/http/caller_connection% src/gentian/http/caller_server% src/gentian/http/response% platform/decode% platform/json% platform/pages% platform/redact%,$(LIB_SOURCES)) $(LDLIBS)

demo: setup
	@$(MAKE) --no-print-directory -j8 all >/dev/null
	@tools/demo

bench-detection bench-routing: bench-%: $(B)/bench/bench_%
	$<

bench-config: all
	bench/config.sh

bench-hop: all $(B)/bench/bench_hop
	bench/hop.sh

bench-slopes: all $(B)/bench/bench_slopes
	bench/slopes.sh

prove: setup
	@tools/prove

mutants: setup
	@tools/mutants

units: $(UNIT_TESTS)

properties: $(PROPERTY_TESTS)

fuzzers: $(FUZZERS)

check: setup
	@tools/check

-include $(shell find build -name '*.d' 2>/dev/null)

clean:
	rm -rf build
