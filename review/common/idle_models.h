/* Entries of back ends as the platform's pages have them: a back end that has not joined a group,
 * or is still joining one, has no model. */
#ifndef REVIEW_IDLE_MODELS_H
#define REVIEW_IDLE_MODELS_H

#include "../../platform/soak/store.h"

/* store_put, but "Models" of a back end is empty while it holds none. back_end.c is compiled with
 * this in its place. */
uint64_t idle_models_put (soak_store_t *s, const char *topic, cs_str_t key, cs_str_t value);

#endif
