/*
 * NAME
 *     test - headers for every test, in the order that cmocka requires
 */
#ifndef TEST_H
#define TEST_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#endif
