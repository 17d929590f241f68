/**
 * A model of the platform, its workers and its callers on virtual time. The entries' real decisions run on it,
 * under seeded faults, and what workers, callers and operators see is held against the rules.
 */
@NullMarked
package org.lupinpaddle.model;

import org.jspecify.annotations.NullMarked;
