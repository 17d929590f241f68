/** The operators' listener and the commands it carries out. */
@NullMarked
package org.lupinpaddle.daemon.operator;

import org.jspecify.annotations.NullMarked;
