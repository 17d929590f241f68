/** One wave of maintenance or migration: its record, its plan, and the steps that carry it out. */
@NullMarked
package org.lupinpaddle.core.wave;

import org.jspecify.annotations.NullMarked;
