/** Drives waves: carries the stepper's actions to the store and to the platform. */
@NullMarked
package org.lupinpaddle.daemon.wave;

import org.jspecify.annotations.NullMarked;
