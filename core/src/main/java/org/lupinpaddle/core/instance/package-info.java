/** Instances: their pool, location and state, and the shard record that stores them. */
@NullMarked
package org.lupinpaddle.core.instance;

import org.jspecify.annotations.NullMarked;
