/* VM list in the format of Prometheus' HTTP service discovery. Changes become visible after
 * vm_list_lag_ms. */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"

/* A version of the list and the time from which it was current. */
typedef struct {
	json_t *list;
	int64_t since_ms;
} list_version_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static list_version_t *versions; /* oldest first */
static size_t n_versions;
static size_t versions_capacity;
static vms_fault_t fault;
static json_t *frozen;
static json_int_t reads;

static void
push_version (json_t *list)
{
	versions = cs_grow (versions, &versions_capacity, n_versions + 1, sizeof *versions);
	versions[n_versions++] = (list_version_t){list, server_now_ms ()};
}

void
vms_init (json_t *list)
{
	push_version (list);
}

/* The list as of vm_list_lag_ms ago; frees older versions. */
static json_t *
visible_list (void)
{
	int64_t visible_ms = server_now_ms () - options.vm_list_lag_ms;
	while (n_versions > 1 && versions[1].since_ms <= visible_ms) {
		json_decref (versions[0].list);
		memmove (versions, versions + 1, --n_versions * sizeof *versions);
	}
	return versions[0].list;
}

void
vms_set_fault (vms_fault_t new_fault)
{
	pthread_mutex_lock (&lock);
	json_decref (frozen);
	frozen = new_fault == VMS_FROZEN ? json_incref (visible_list ()) : NULL;
	fault = new_fault;
	pthread_mutex_unlock (&lock);
}

json_t *
vms_stats (void)
{
	pthread_mutex_lock (&lock);
	json_t *j = json_pack ("{s:I}", "reads", reads);
	pthread_mutex_unlock (&lock);
	return j;
}

static enum MHD_Result
get_list (server_request_t *r)
{
	pthread_mutex_lock (&lock);
	bool down = fault == VMS_DOWN;
	json_t *list = json_deep_copy (frozen ? frozen : visible_list ());
	reads++;
	pthread_mutex_unlock (&lock);
	if (!down)
		return server_reply_etag (r, list);
	json_decref (list);
	return server_reply_error (r, 503, "the VM list is down");
}

static ssize_t
find_vm (const json_t *list, const char *vm)
{
	for (size_t i = 0; i < json_array_size (list); i++) {
		json_t *labels = json_object_get (json_array_get (list, i), "labels");
		const char *name = json_string_value (json_object_get (labels, "vm"));
		if (name && !strcmp (name, vm))
			return (ssize_t)i;
	}
	return -1;
}

/* Sets the state of a VM, or removes the VM if state is NULL; false if it is not listed. */
static bool
change_vm (const char *vm, const char *state)
{
	pthread_mutex_lock (&lock);
	json_t *list = json_deep_copy (versions[n_versions - 1].list);
	ssize_t i = find_vm (list, vm);
	if (i >= 0 && !state)
		json_array_remove (list, (size_t)i);
	if (i >= 0 && state)
		json_object_set_new (json_object_get (json_array_get (list, (size_t)i), "labels"),
				     "state", json_string (state));
	if (i >= 0)
		push_version (list);
	else
		json_decref (list);
	pthread_mutex_unlock (&lock);
	return i >= 0;
}

enum MHD_Result
vms_handle (server_request_t *r)
{
	const char *vm = !strncmp (r->path, "/vms/", 5) ? r->path + 5 : "";
	const char *state = NULL;
	if (!strcmp (r->method, "GET"))
		return get_list (r);
	if (*vm && !strcmp (r->method, "DELETE"))
		return change_vm (vm, NULL) ? server_reply (r, 200, json_object ())
					    : server_reply_error (r, 404, "no such VM");
	json_t *body = json_loadb (r->body.p ? r->body.p : "", r->body.n, 0, NULL);
	if (!*vm && !strcmp (r->method, "PUT") && json_is_array (body)) {
		pthread_mutex_lock (&lock);
		push_version (body);
		pthread_mutex_unlock (&lock);
		return server_reply (r, 200, json_object ());
	}
	bool ok = *vm && !strcmp (r->method, "POST") &&
		  !json_unpack (body, "{s:s !}", "state", &state) && change_vm (vm, state);
	json_decref (body);
	return ok ? server_reply (r, 200, json_object ())
		  : server_reply_error (r, 400,
					"expected PUT /vms with an array, or POST /vms/VM of a "
					"listed VM with its state");
}
