/** The operators' command language, shared by the tool and the listener. */
@NullMarked
package org.lupinpaddle.core.command;

import org.jspecify.annotations.NullMarked;
