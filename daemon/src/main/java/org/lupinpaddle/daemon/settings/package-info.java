/** The settings file, read and checked before anything starts. */
@NullMarked
package org.lupinpaddle.daemon.settings;

import org.jspecify.annotations.NullMarked;
