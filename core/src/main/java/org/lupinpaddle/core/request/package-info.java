/** One caller's request from arrival to its only answer. */
@NullMarked
package org.lupinpaddle.core.request;

import org.jspecify.annotations.NullMarked;
