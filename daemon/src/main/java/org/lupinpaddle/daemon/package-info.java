/** The entry process: settings in, listeners out, everything between carried to and from core. */
@NullMarked
package org.lupinpaddle.daemon;

import org.jspecify.annotations.NullMarked;
