#include "cs/serving.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

static void
free_homes (char **homes, size_t n)
{
	for (size_t i = 0; i < n; i++)
		free (homes[i]);
	free ((void *)homes);
}

static void
free_routes (cs_serving_t *s)
{
	for (size_t i = 0; i < s->n_routes; i++) {
		cs_serving_route_t *r = &s->routes[i];
		for (size_t k = 0; k < r->n_splits; k++)
			free (r->splits[k].service);
		free (r->splits);
		free_homes (r->homes, r->n_homes);
		free (r->name);
		free (r->host);
		free (r->prefix);
	}
	free (s->routes);
}

static void
free_services (cs_serving_t *s)
{
	for (size_t i = 0; i < s->n_services; i++) {
		cs_serving_service_t *service = &s->services[i];
		for (size_t k = 0; k < service->n_models; k++)
			free (service->models[k].name);
		free (service->models);
		free (service->name);
	}
	free (s->services);
}

static void
free_serving (cs_ref_t *ref)
{
	cs_serving_t *s = (cs_serving_t *)ref;
	cs_team_key_t *k, *next;
	free_routes (s);
	free_services (s);
	for (size_t i = 0; i < s->n_teams; i++) {
		free_homes (s->teams[i].homes, s->teams[i].n_homes);
		free (s->teams[i].name);
	}
	free (s->teams);
	HASH_ITER (hh, s->keys, k, next) {
		HASH_DEL (s->keys, k);
		free (k->key);
		free (k);
	}
	free (s);
}

cs_serving_t *
cs_serving_new (void)
{
	cs_serving_t *s = cs_alloc (sizeof *s);
	cs_ref_init (&s->ref, free_serving);
	return s;
}

/* Reallocates an array of n elements for one more, zeroed. Returns the array. */
static void *
grow_by_one (void *items, size_t n, size_t size)
{
	char *grown = cs_realloc (items, (n + 1) * size);
	memset (grown + n * size, 0, size);
	return grown;
}

cs_serving_route_t *
cs_serving_add_route (cs_serving_t *s)
{
	s->routes = grow_by_one (s->routes, s->n_routes, sizeof *s->routes);
	return &s->routes[s->n_routes++];
}

void
cs_serving_add_split (cs_serving_route_t *r, const char *service, uint32_t weight)
{
	r->splits = grow_by_one (r->splits, r->n_splits, sizeof *r->splits);
	r->splits[r->n_splits].service = cs_str_dup (cs_str (service));
	r->splits[r->n_splits++].weight = weight;
}

cs_serving_service_t *
cs_serving_add_service (cs_serving_t *s)
{
	s->services = grow_by_one (s->services, s->n_services, sizeof *s->services);
	return &s->services[s->n_services++];
}

cs_serving_model_t *
cs_serving_add_model (cs_serving_service_t *service)
{
	service->models = grow_by_one (service->models, service->n_models, sizeof *service->models);
	return &service->models[service->n_models++];
}

size_t
cs_serving_add_team (cs_serving_t *s, const char *name, int priority)
{
	s->teams = grow_by_one (s->teams, s->n_teams, sizeof *s->teams);
	s->teams[s->n_teams].name = cs_str_dup (cs_str (name));
	s->teams[s->n_teams].priority = priority;
	return s->n_teams++;
}

void
cs_serving_add_home (char ***homes, size_t *n_homes, const char *region)
{
	*homes = grow_by_one ((void *)*homes, *n_homes, sizeof **homes);
	(*homes)[(*n_homes)++] = cs_str_dup (cs_str (region));
}

void
cs_serving_add_key (cs_serving_t *s, const char *key, size_t team)
{
	cs_team_key_t *k;
	HASH_FIND_STR (s->keys, key, k);
	if (k)
		return;
	k = cs_alloc (sizeof *k);
	k->key = cs_str_dup (cs_str (key));
	k->team = team;
	HASH_ADD_KEYPTR (hh, s->keys, k->key, strlen (k->key), k);
}

/* True if host, with or without a port, is the declared one. */
static bool
is_same_host (const char *declared, cs_str_t host)
{
	const char *colon = memchr (host.p, ':', host.n);
	size_t n = colon ? (size_t)(colon - host.p) : host.n;
	return strlen (declared) == n && !strncasecmp (declared, host.p, n);
}

const cs_serving_route_t *
cs_serving_find_route (const cs_serving_t *s, cs_str_t host, cs_str_t path)
{
	const cs_serving_route_t *best = NULL;
	size_t longest = 0;
	for (size_t i = 0; i < s->n_routes; i++) {
		const cs_serving_route_t *r = &s->routes[i];
		size_t n = strlen (r->prefix);
		if (n <= longest || !cs_str_starts (path, r->prefix) ||
		    !is_same_host (r->host, host))
			continue;
		best = r;
		longest = n;
	}
	return best;
}

const cs_team_t *
cs_serving_find_team (const cs_serving_t *s, cs_str_t key)
{
	cs_team_key_t *k = NULL;
	if (key.n)
		HASH_FIND (hh, s->keys, key.p, key.n, k);
	return k ? &s->teams[k->team] : NULL;
}

const char *
cs_serving_pick_service (const cs_serving_route_t *route, cs_rng_t *rng)
{
	uint32_t sum = 0;
	for (size_t i = 0; i < route->n_splits; i++)
		sum += route->splits[i].weight;
	if (!sum)
		return route->splits[0].service;
	uint32_t at = cs_rng_below (rng, sum);
	size_t i = 0;
	while (at >= route->splits[i].weight)
		at -= route->splits[i++].weight;
	return route->splits[i].service;
}

const cs_serving_service_t *
cs_serving_find_service (const cs_serving_t *s, const char *name)
{
	for (size_t i = 0; i < s->n_services; i++)
		if (!strcmp (s->services[i].name, name))
			return &s->services[i];
	return NULL;
}

const cs_serving_model_t *
cs_serving_find_model (const cs_serving_service_t *service, const char *name)
{
	for (size_t i = 0; i < service->n_models; i++)
		if (!strcmp (service->models[i].name, name))
			return &service->models[i];
	return NULL;
}

bool
cs_serving_has_large_groups (const cs_serving_service_t *service)
{
	for (size_t i = 0; i < service->n_models; i++)
		if (service->models[i].group_size >= CS_SERVING_LARGE_GROUP)
			return true;
	return false;
}

bool
cs_serving_is_repeatable (const cs_serving_route_t *route)
{
	return route->kind == CS_KIND_IDEMPOTENT ||
	       (route->kind == CS_KIND_STREAM && route->resumable);
}
