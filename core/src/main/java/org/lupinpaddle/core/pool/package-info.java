/** One pool: the service and the site it belongs to. */
@NullMarked
package org.lupinpaddle.core.pool;

import org.jspecify.annotations.NullMarked;
