#include "support_page.h"

#include "cs_test.h"

#include <stdio.h>
#include <string.h>

enum {
	PAGE_BYTES = 1 << 16,
	DEFAULT_COLUMN = 4 /* from 1, of: key, type, range, default, meaning */
};

const char *
read_page (const char *path)
{
	static char page[PAGE_BYTES];
	FILE *in = fopen (path, "re");
	assert_non_null (in);
	page[fread (page, 1, sizeof page - 1, in)] = 0;
	fclose (in);
	return page;
}

bool
page_has_default (const char *page, const char *key, const char *value)
{
	char row_start[64];
	snprintf (row_start, sizeof row_start, "| `%s` |", key);
	const char *cell = strstr (page, row_start);
	for (int i = 1; cell && i < DEFAULT_COLUMN; i++)
		cell = strchr (cell + 1, '|');
	if (!cell)
		return false;
	cell += strspn (cell, "| ");
	size_t n = strlen (value);
	return !strncmp (cell, value, n) && strchr (" :", cell[n]);
}
