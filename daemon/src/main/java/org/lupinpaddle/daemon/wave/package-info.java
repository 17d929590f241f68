/** Executes waves: writes the wave stepper's decisions to the store and sends its maintenance calls to the platform. */
@NullMarked
package org.lupinpaddle.daemon.wave;

import org.jspecify.annotations.NullMarked;
