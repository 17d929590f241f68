/** The little that every other package shares: the clock, the verdict, urgencies, keys and hashing. */
@NullMarked
package org.lupinpaddle.core.common;

import org.jspecify.annotations.NullMarked;
