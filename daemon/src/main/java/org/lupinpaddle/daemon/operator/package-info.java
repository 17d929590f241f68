/** The HTTP API for operators and the execution of their commands. */
@NullMarked
package org.lupinpaddle.daemon.operator;

import org.jspecify.annotations.NullMarked;
