/** Claims in the platform's store, which prevent that a job which is not repeatable runs twice. */
@NullMarked
package org.lupinpaddle.daemon.claim;

import org.jspecify.annotations.NullMarked;
