/** Keeps this entry's view of the configuration up to date. */
@NullMarked
package org.lupinpaddle.daemon.config;

import org.jspecify.annotations.NullMarked;
