/** The slots of a service's workers: who may send to which worker now. */
@NullMarked
package org.lupinpaddle.core.slot;

import org.jspecify.annotations.NullMarked;
