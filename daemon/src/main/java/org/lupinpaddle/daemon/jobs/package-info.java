@NullMarked
package org.lupinpaddle.daemon.jobs;

import org.jspecify.annotations.NullMarked;
