/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.jobs;

import java.util.concurrent.CompletionException;
import org.lupinpaddle.daemon.port.StoreException;

/** Extracts the reason why a store call was not served. */
final class StoreFailure {

    private StoreFailure() {}

    static StoreException.Kind kind(Throwable why) {
        return cause(why) instanceof StoreException s ? s.kind() : StoreException.Kind.AWAY;
    }

    static String text(Throwable why) {
        Throwable c = cause(why);
        return c instanceof StoreException s ? s.kind() + ": " + s.getMessage() : c.toString();
    }

    private static Throwable cause(Throwable why) {
        return why instanceof CompletionException && why.getCause() != null ? why.getCause() : why;
    }
}
