@NullMarked
package org.lupinpaddle.core.queue;

import org.jspecify.annotations.NullMarked;
