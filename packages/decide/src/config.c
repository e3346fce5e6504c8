/* Declared resources: construction, lookup and iteration. */
#include "cs/config.h"

#include <stdlib.h>
#include <string.h>

#include "log_internal.h"

static const char *const kind_names[CS_KIND_COUNT] = {"model_group", "service", "team", "policy"};

const char *
cs_kind_name (cs_kind_t kind)
{
	return kind_names[kind];
}

bool
cs_kind_parse (cs_str_t name, cs_kind_t *kind)
{
	for (int k = 0; k < CS_KIND_COUNT; k++) {
		if (!cs_str_is (name, kind_names[k]))
			continue;
		*kind = (cs_kind_t)k;
		return true;
	}
	return false;
}

char *
cs_resource_key (cs_kind_t kind, cs_str_t name)
{
	cs_buf_t key;
	cs_buf_init (&key);
	cs_buf_printf (&key, "%s/%.*s", kind_names[kind], CS_STR_ARG (name));
	return key.p;
}

void
cs_config_init (cs_config_t *c, const cs_members_t *members, unsigned disabled)
{
	*c = (cs_config_t){0};
	c->members = members;
	c->disabled = disabled;
}

void
cs_config_finish (cs_config_t *c)
{
	cs_config_reset (c);
	free (c->proposals);
	free (c->events);
}

void
cs_config_remove_resource (cs_config_t *c, cs_resource_t *r)
{
	HASH_DEL (c->resources, r);
	cs__resource__free_unpacked (r->resource, NULL);
	free (r->change_id);
	free (r->key);
	free (r);
}

void
cs_config_reset (cs_config_t *c)
{
	while (c->resources)
		cs_config_remove_resource (c, c->resources);
	while (c->n_proposals)
		cs_proposal_free (c->proposals[--c->n_proposals]);
	cs_config_clear_events (c, 1);
}

cs_resource_t *
cs_config_find_resource (const cs_config_t *c, cs_kind_t kind, cs_str_t name)
{
	cs_resource_t *r;
	char *key = cs_resource_key (kind, name);
	HASH_FIND_STR (c->resources, key, r);
	free (key);
	return r;
}

const cs_resource_t *
cs_config_get (const cs_config_t *c, cs_kind_t kind, cs_str_t name)
{
	return cs_config_find_resource (c, kind, name);
}

static int
compare_kind_and_name (const cs_resource_t *x, const cs_resource_t *y)
{
	return x->kind != y->kind ? (int)x->kind - (int)y->kind
				  : strcmp (x->resource->name, y->resource->name);
}

static void
insert_sorted (cs_config_t *c, cs_resource_t *r)
{
	HASH_ADD_KEYPTR (hh, c->resources, r->key, strlen (r->key), r);
	const cs_resource_t *previous = r->hh.prev;
	if (previous && compare_kind_and_name (previous, r) > 0)
		HASH_SORT (c->resources, compare_kind_and_name);
}

void
cs_config_put_resource (cs_config_t *c, cs_kind_t kind, uint64_t version, const char *change_id,
			const Cs__Resource *resource)
{
	cs_resource_t *r = cs_config_find_resource (c, kind, cs_str (resource->name));
	if (!r) {
		r = cs_alloc (sizeof *r);
		r->kind = kind;
		r->key = cs_resource_key (kind, cs_str (resource->name));
	}
	Cs__Resource *old = r->resource;
	r->resource = cs_clone (&resource->base);
	r->version = version;
	free (r->change_id);
	r->change_id = cs_str_dup (cs_str (change_id));
	if (old)
		cs__resource__free_unpacked (old, NULL);
	else
		insert_sorted (c, r);
}

const cs_resource_t *
cs_config_next (const cs_config_t *c, cs_kind_t kind, const cs_resource_t *after)
{
	const cs_resource_t *r = after ? after->hh.next : c->resources;
	while (r && kind != CS_KIND_COUNT && r->kind != kind)
		r = r->hh.next;
	return r;
}

size_t
cs_config_count (const cs_config_t *c)
{
	return HASH_COUNT (c->resources);
}
