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
package org.lupinpaddle.daemon.port;

/** Thrown when the store does not serve a read or a lease call. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /** Why the call was not served. */
    public enum Kind {
        /** No answer, or an answer that cannot be parsed. */
        AWAY,
        /** The store refused the call because it is down or the rate limit is exceeded. */
        REFUSED,
        /** The store no longer keeps the history from the requested revision on. */
        HISTORY_GONE
    }

    /** Creates the exception; {@code message} names the call and the answer. */
    public StoreException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns why the call was not served. */
    public Kind kind() {
        return kind;
    }
}
