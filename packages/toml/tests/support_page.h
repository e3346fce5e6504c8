/* Reads documentation pages, whose tables of keys are compared with the defaults in the code. */
#ifndef CS_SUPPORT_PAGE_H
#define CS_SUPPORT_PAGE_H

#include <stdbool.h>

/* Returns the text of a page, valid until the next call. Fails the test if the file cannot be
 * opened. */
const char *read_page (const char *path);
/* True if the first table row for the key in the text has that value in its default column. */
bool page_has_default (const char *page, const char *key, const char *value);

#endif
