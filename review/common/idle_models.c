#include "idle_models.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

uint64_t
idle_models_put (soak_store_t *s, const char *topic, cs_str_t key, cs_str_t value)
{
	json_t *entry = value.n ? json_loadb (value.p, value.n, 0, NULL) : NULL;
	const json_t *group = json_object_get (entry, "group");
	const char *state = json_string_value (json_object_get (group, "State"));
	char *text = NULL;
	if (!json_object_get (entry, "Models") || (state && strcmp (state, "joining") != 0)) {
		json_decref (entry);
		return store_put (s, topic, key, value);
	}
	json_object_set_new (entry, "Models", json_array ());
	text = json_dumps (entry, JSON_COMPACT);
	uint64_t taken = store_put (s, topic, key, cs_str (text));
	free (text);
	json_decref (entry);
	return taken;
}
