/* Declared resources: errors are reported with their position, and valid resources are equal
 * after conversion to JSON and back. */
#include "cs_test.h"

#include <stdlib.h>
#include <string.h>

#include "cs/resources.h"
#include "support_page.h"

#define GROUP                                                                                  \
	"[[model_group]]\nname = \"pool\"\nmodel = \"m\"\nversion = \"v1\"\nzones = [\"a\"]\n" \
	"replicas = 2\nmembers = 3\n"
#define MODEL "[[service]]\nname = \"chat\"\nkind = \"model\"\nmodel_group = \"pool\"\n"
#define PLAIN                                                                               \
	"[[service]]\nname = \"book\"\nkind = \"plain\"\n[[service.backend]]\nname = \"b\"" \
	"\nzone = \"a\"\nurl = \"http://127.0.0.1:9\"\n"
#define ROUTE "[[service.protected]]\nmethod = \"POST\"\npath_prefix = \"/reservations\"\n"
#define TEAM "[[team]]\nname = \"t\"\nrequests_per_minute = 60\nservices = [\"chat\"]\n"
#define POLICY "[policy]\ndowntime_weight = 5\nstranded_weight = 0.5\n"

static void
test_parse (void **state)
{
	static const struct {
		const char *text;
		size_t resources;
		size_t findings;
		int line; /* of the first finding */
		int column;
		const char *message;
	} cases[] = {
		{"", 0, 0, 0, 0, ""},
		{GROUP MODEL PLAIN ROUTE TEAM POLICY, 5, 0, 0, 0, ""},
		{"[[team]\n", 0, 1, 1, 8, ""},
		{"colour = 1\n", 0, 1, 1, 1, "unknown key \"colour\""},
		{GROUP "colour = 1\n", 1, 1, 8, 1, "unknown key \"colour\""},
		{GROUP "weight_bytes = \"x\"\n", 1, 1, 8, 16, "must be a whole number"},
		{GROUP "weight_bytes = -1\n", 1, 1, 8, 16, "must be from 0"},
		{GROUP "max_concurrent = 0\n", 1, 1, 8, 18, "must be from 1"},
		{GROUP "adapters = [\"x\", 3]\n", 1, 1, 8, 18, "array of strings"},
		{GROUP "adapters = [\"x\", \"x\"]\n", 1, 1, 8, 12, "\"x\" twice"},
		{"[[model_group]]\nname = \"p\"\n", 1, 5, 1, 1, "is missing"},
		{"[[team]]\nrequests_per_minute = 1\n", 0, 1, 1, 1, "\"name\" is missing"},
		{"[[team]]\nname = \"\"\n", 0, 1, 2, 8, "must not be empty"},
		{"[[team]]\nname = \"a/b\"\n", 1, 1, 2, 8, "lower-case letters"},
		{TEAM TEAM, 1, 1, 6, 8, "declared already at f.toml:1"},
		{"team = 3\n", 0, 1, 1, 8, "array of tables"},
		{"team = [3]\n", 0, 1, 1, 9, "must be a table"},
		{"policy = 3\n", 0, 1, 1, 10, "must be a table"},
		{"[policy]\nretry_percent = 101\n", 1, 1, 2, 17, "from 0 to 100"},
		{"[policy]\ndowntime_weight = nan\n", 1, 1, 2, 19, "from 0 to"},
		{"[[service]]\nname = \"s\"\nkind = \"odd\"\n", 1, 1, 3, 8, "model or plain"},
		{"[[service]]\nname = \"s\"\nkind = \"model\"\n", 1, 1, 1, 1, "\"model_group\""},
		{"[[service]]\nname = \"s\"\nkind = \"plain\"\n", 1, 1, 1, 1, "\"backend\""},
		{MODEL ROUTE, 1, 1, 5, 1, "for plain services"},
		{PLAIN "[[service.backend]]\nname = \"b\"\nzone = \"a\"\nurl = \"x:1\"\n", 1, 2, 11,
		 7, "http://IP:PORT"},
		{PLAIN "[[service.protected]]\nmethod = \"post\"\npath_prefix = \"x\"\n", 1, 2, 9,
		 10, "\"method\" must be"},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		cs_resources_t r;
		cs_findings_t f;
		cs_resources_init (&r);
		cs_findings_init (&f);
		cs_status_t status = cs_resources_parse (&r, cs_str (cases[i].text), "f.toml", &f);
		if (f.n != cases[i].findings || r.n != cases[i].resources ||
		    (f.n &&
		     (f.items[0].line != cases[i].line || f.items[0].column != cases[i].column ||
		      !strstr (f.items[0].text, cases[i].message)))) {
			cs_buf_t text;
			cs_buf_init (&text);
			cs_findings_print (&f, &text);
			fail_msg ("case %zu: %zu resources, findings:\n%s", i, r.n,
				  text.p ? text.p : "");
		}
		assert_int_equal (status == CS_OK, f.n == 0);
		cs_findings_finish (&f);
		cs_resources_finish (&r);
	}
}

/* Names are unique over all files of a set. */
static void
test_files (void **state)
{
	cs_resources_t r;
	cs_findings_t f;
	(void)state;
	cs_resources_init (&r);
	cs_findings_init (&f);
	assert_int_equal (cs_resources_parse (&r, cs_str (GROUP TEAM), "a.toml", &f), CS_OK);
	assert_int_equal (cs_resources_parse (&r, cs_str (TEAM MODEL), "b.toml", &f), CS_INVALID);
	assert_int_equal (f.n, 1);
	assert_string_equal (f.items[0].file, "b.toml");
	assert_non_null (strstr (f.items[0].text, "a.toml:8"));
	assert_int_equal (r.n, 3);
	assert_int_equal (cs_resources_check_references (&r, NULL, 0, &f), CS_OK);
	cs_findings_finish (&f);
	cs_resources_finish (&r);
}

static void
test_references (void **state)
{
	static const struct {
		const char *text;
		const char *existing; /* resources that exist on the server */
		size_t findings;
		int line; /* of the first finding */
		int column;
	} cases[] = {
		{GROUP MODEL TEAM, "", 0, 0, 0}, {MODEL TEAM, "", 1, 4, 15},
		{MODEL TEAM, GROUP, 0, 0, 0},    {TEAM, "", 1, 4, 12},
		{TEAM, MODEL, 0, 0, 0},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		cs_resources_t r;
		cs_resources_t old;
		cs_findings_t f;
		Cs__Resource *existing[2] = {NULL, NULL};
		cs_resources_init (&r);
		cs_resources_init (&old);
		cs_findings_init (&f);
		cs_resources_parse (&r, cs_str (cases[i].text), "f.toml", &f);
		cs_resources_parse (&old, cs_str (cases[i].existing), "old.toml", &f);
		for (size_t j = 0; j < old.n; j++)
			existing[j] = old.items[j].resource;
		cs_resources_check_references (&r, existing, old.n, &f);
		assert_int_equal (f.n, cases[i].findings);
		assert_int_equal (f.n ? f.items[0].line : 0, cases[i].line);
		assert_int_equal (f.n ? f.items[0].column : 0, cases[i].column);
		cs_findings_finish (&f);
		cs_resources_finish (&old);
		cs_resources_finish (&r);
	}
}

/* GROUP has replicas in zone a. */
static void
test_scope (void **state)
{
	static const struct {
		const char *text;
		const char *existing; /* resources that exist on the server */
		const char *zones[2];
		const char *message; /* part of the finding; "" for none */
	} cases[] = {
		{GROUP, "", {NULL}, ""},
		{GROUP, "", {"a"}, ""},
		{GROUP, "", {"b", "a"}, ""},
		{GROUP, "", {"b"}, "zone \"a\" is not in the scope"},
		{GROUP, GROUP, {"b"}, ""},
		{GROUP, GROUP "max_concurrent = 3\n", {"b"}, "zone \"a\""},
		{TEAM PLAIN POLICY, "", {"b"}, ""},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		cs_resources_t r;
		cs_resources_t old;
		cs_findings_t f;
		Cs__Resource *existing = NULL;
		size_t n_zones = 0;
		cs_resources_init (&r);
		cs_resources_init (&old);
		cs_findings_init (&f);
		cs_resources_parse (&r, cs_str (cases[i].text), "f.toml", &f);
		cs_resources_parse (&old, cs_str (cases[i].existing), "old.toml", &f);
		if (old.n)
			existing = old.items[0].resource;
		while (n_zones < 2 && cases[i].zones[n_zones])
			n_zones++;
		cs_resources_check_scope (&r, &existing, old.n, cases[i].zones, n_zones, &f);
		assert_int_equal (f.n, *cases[i].message != 0);
		if (f.n && (f.items[0].line != 5 || f.items[0].column != 9 ||
			    !strstr (f.items[0].text, cases[i].message)))
			fail_msg ("case %zu: %d:%d: %s", i, f.items[0].line, f.items[0].column,
				  f.items[0].text);
		cs_findings_finish (&f);
		cs_resources_finish (&old);
		cs_resources_finish (&r);
	}
}

static void
test_json_round_trip (void **state)
{
	cs_resources_t r;
	cs_findings_t f;
	(void)state;
	cs_resources_init (&r);
	cs_findings_init (&f);
	cs_resources_parse (&r, cs_str (GROUP MODEL PLAIN ROUTE TEAM POLICY), "f.toml", &f);
	assert_int_equal (r.n, 5);
	for (size_t i = 0; i < r.n; i++) {
		Cs__Resource *copy;
		json_t *first = cs_resource_to_json (r.items[i].resource);
		assert_int_equal (cs_resource_from_json (&copy, first), CS_OK);
		json_t *second = cs_resource_to_json (copy);
		assert_true (json_equal (first, second));
		assert_string_equal (copy->name, r.items[i].resource->name);
		cs__resource__free_unpacked (copy, NULL);
		json_decref (first);
		json_decref (second);
	}
	cs_findings_finish (&f);
	cs_resources_finish (&r);
}

static void
test_json_faults (void **state)
{
	static const char *const cases[] = {
		"{}",
		"{\"kind\":\"team\",\"spec\":{}}",
		"{\"kind\":\"odd\",\"name\":\"x\",\"spec\":{}}",
		"{\"kind\":\"team\",\"name\":\"x\"}",
		"{\"kind\":\"team\",\"name\":\"x\",\"spec\":{\"priority\":\"a\"}}",
		"{\"kind\":\"team\",\"name\":\"x\",\"spec\":{\"services\":[\"a\",1]}}",
		"{\"kind\":\"policy\",\"name\":\"default\",\"spec\":{\"retry_percent\":-1}}",
		"{\"kind\":\"service\",\"name\":\"x\",\"spec\":{\"kind\":\"odd\"}}",
		"{\"kind\":\"service\",\"name\":\"x\",\"spec\":{\"backend\":[3]}}",
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		Cs__Resource *out;
		json_t *j = json_loads (cases[i], 0, NULL);
		assert_non_null (j);
		assert_int_equal (cs_resource_from_json (&out, j), CS_INVALID);
		assert_null (out);
		json_decref (j);
	}
}

/* Formats a number or boolean as the page does; false for other types. */
static bool
format_value (const json_t *v, char *out, size_t n)
{
	if (json_is_boolean (v))
		snprintf (out, n, "%s", json_is_true (v) ? "true" : "false");
	else if (json_is_number (v))
		snprintf (out, n, "%.15g", json_number_value (v));
	return json_is_boolean (v) || json_is_number (v);
}

/* The defaults in docs/RESOURCES.md equal those of a resource without the keys. */
static void
test_defaults (void **state)
{
	static const struct {
		const char *text;
		const char *table; /* heading of the table in the page */
		size_t compared;
	} cases[] = {
		{GROUP, "`[[model_group]]`", 3},
		{MODEL, "`[[service]]`", 1},
		{"[[team]]\nname = \"t\"\n", "`[[team]]`", 4},
		{"[policy]\n", "`[policy]`", 4},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		const char *table = strstr (read_page (RESOURCES_PAGE), cases[i].table);
		cs_resources_t r;
		cs_findings_t f = {0};
		cs_resources_init (&r);
		assert_non_null (table);
		assert_int_equal (cs_resources_parse (&r, cs_str (cases[i].text), "f.toml", &f),
				  CS_OK);
		json_t *j = cs_resource_to_json (r.items[0].resource);
		const char *key;
		json_t *v;
		size_t compared = 0;
		json_object_foreach (json_object_get (j, "spec"), key, v) {
			char value[32];
			if (!format_value (v, value, sizeof value) ||
			    page_has_default (table, key, "required"))
				continue;
			compared++;
			if (!page_has_default (table, key, value))
				fail_msg ("%s: %s is %s", cases[i].table, key, value);
		}
		assert_int_equal (compared, cases[i].compared);
		json_decref (j);
		cs_findings_finish (&f);
		cs_resources_finish (&r);
	}
}

int
main (void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_defaults),

		cmocka_unit_test (test_parse),           cmocka_unit_test (test_files),
		cmocka_unit_test (test_references),      cmocka_unit_test (test_scope),
		cmocka_unit_test (test_json_round_trip), cmocka_unit_test (test_json_faults),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
