/** Claims on unsafe jobs, kept in the platform's store. */
@NullMarked
package org.lupinpaddle.daemon.claim;

import org.jspecify.annotations.NullMarked;
