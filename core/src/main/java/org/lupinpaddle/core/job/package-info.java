@NullMarked
package org.lupinpaddle.core.job;

import org.jspecify.annotations.NullMarked;
