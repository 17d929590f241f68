/** The operators' language, the same in the tool and on the listener. */
@NullMarked
package org.lupinpaddle.core.command;

import org.jspecify.annotations.NullMarked;
