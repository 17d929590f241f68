/** The handling of one caller's request, from its arrival to its only answer. */
@NullMarked
package org.lupinpaddle.core.request;

import org.jspecify.annotations.NullMarked;
