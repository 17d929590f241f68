/** The operators' command-line tool: a client of any entry's operator listener. */
@NullMarked
package org.lupinpaddle.ctl;

import org.jspecify.annotations.NullMarked;
