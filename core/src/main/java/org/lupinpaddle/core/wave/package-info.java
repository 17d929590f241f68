/** Maintenance and migration waves: their records, their plans, and the steps that carry them out. */
@NullMarked
package org.lupinpaddle.core.wave;

import org.jspecify.annotations.NullMarked;
