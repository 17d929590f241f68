/** One instance of the fleet: its pool, its place, its state, and the shard record that holds it. */
@NullMarked
package org.lupinpaddle.core.instance;

import org.jspecify.annotations.NullMarked;
