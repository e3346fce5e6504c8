/* Reference counts for objects shared between tasks of one thread; not atomic. */
#ifndef CS_REF_H
#define CS_REF_H

/* First member of a counted object; drop frees the object when the count reaches 0. */
typedef struct cs_ref {
	int count;
	void (*drop) (struct cs_ref *ref);
} cs_ref_t;

/* Sets the count to 1: the caller's reference. */
void cs_ref_init (cs_ref_t *ref, void (*drop) (cs_ref_t *ref));
void cs_ref_get (cs_ref_t *ref);
void cs_ref_put (cs_ref_t *ref);

#endif
