/** Pools: the service and the site that each belongs to. */
@NullMarked
package org.lupinpaddle.core.pool;

import org.jspecify.annotations.NullMarked;
