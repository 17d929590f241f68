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

/** The store did not serve a call that reads, or that concerns a lease. */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /** Why a call was not served. */
    public enum Kind {
        /** No answer, or none that can be understood. */
        AWAY,
        /** The store refused the call: it is down, or the rate is used up. */
        REFUSED,
        /** The changes asked for are not kept any more. */
        HISTORY_GONE
    }

    /** Makes the exception; {@code what} names the call and what was answered. */
    public StoreException(Kind kind, String what) {
        super(what);
        this.kind = kind;
    }

    /** Returns why the call was not served. */
    public Kind kind() {
        return kind;
    }
}
