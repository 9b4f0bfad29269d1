/* Tests of the look-up of a route among many of one host. */
#include "test.h"

#include "internal/caro_routes.h"

#include <stdio.h>
#include <string.h>

enum { ROUTES = 5000 };

static CaroRoutes *
make_routes(void)
{
    CaroRoutes *r = CaroRoutes_Create(1);
    for (int i = 0; i < ROUTES; i++) {
        char prefix[32];
        (void)snprintf(prefix, sizeof(prefix), "/r%04d/", i);
        CaroRoute route = {.host = "h.example", .prefix = prefix};
        route.timeout = i;
        assert_int_equal(CaroRoutes_Add(r, &route), 0);
    }
    return r;
}

static void
add(CaroRoutes *r, const char *prefix, CaroTime timeout)
{
    CaroRoute route = {
        .host = "h.example", .prefix = prefix, .timeout = timeout};
    assert_int_equal(CaroRoutes_Add(r, &route), 0);
}

static CaroTime
find(const CaroRoutes *r, const char *path)
{
    const CaroRoute *route =
        CaroRoutes_Find(r, "H.example:80", 12, path, strlen(path));
    return route == NULL ? -1 : route->timeout;
}

static void
test_each_of_many_routes_is_found(void **state)
{
    (void)state;
    CaroRoutes *r = make_routes();
    for (int i = 0; i < ROUTES; i++) {
        char path[32];
        (void)snprintf(path, sizeof(path), "/r%04d/x", i);
        assert_int_equal(find(r, path), i);
    }
    assert_int_equal(find(r, "/r00000"), -1);
    assert_int_equal(find(r, "/"), -1);
    assert_int_equal(CaroRoutes_Count(r), ROUTES);
    CaroRoutes_Destroy(r);
}

static void
test_longest_prefix_is_found(void **state)
{
    (void)state;
    CaroRoutes *r = make_routes();
    add(r, "/", 9001);
    add(r, "/r0000/a/b/", 9003);
    add(r, "/r0000/a/", 9002);
    assert_int_equal(find(r, "/none"), 9001);
    assert_int_equal(find(r, "/r0000/a"), 0);
    assert_int_equal(find(r, "/r0000/a/c"), 9002);
    assert_int_equal(find(r, "/r0000/a/b/c"), 9003);
    CaroRoutes_Destroy(r);
}

static void
test_later_route_replaces_one_with_the_same_prefix(void **state)
{
    (void)state;
    CaroRoutes *r = make_routes();
    add(r, "/r0007/", 9007);
    assert_int_equal(find(r, "/r0007/x"), 9007);
    CaroRoutes_Destroy(r);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_each_of_many_routes_is_found),
        cmocka_unit_test(test_longest_prefix_is_found),
        cmocka_unit_test(test_later_route_replaces_one_with_the_same_prefix),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
