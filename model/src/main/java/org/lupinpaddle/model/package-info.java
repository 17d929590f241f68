/**
 * A discrete-event simulation of the platform, its workers and its callers. It runs the entries' production code on
 * virtual time under seeded faults and checks against a set of rules what workers, callers and operators observe.
 */
@NullMarked
package org.lupinpaddle.model;

import org.jspecify.annotations.NullMarked;
