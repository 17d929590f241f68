@NullMarked
package org.lupinpaddle.core.run;

import org.jspecify.annotations.NullMarked;
