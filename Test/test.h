/*
 * NAME
 *     test - what every test file includes, in the order cmocka wants
 */
#ifndef TEST_H
#define TEST_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#endif
