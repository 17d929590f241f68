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
package org.lupinpaddle.core.common;

/**
 * States whether a request may have run on a worker. {@link #NOT_RUN} is a guarantee: no byte of the request
 * can have been acted on. In doubt the verdict is {@link #MAY_HAVE_RUN}.
 */
public enum Verdict {
    /** No worker has started the request. Sending it again is safe even if the request is not idempotent. */
    NOT_RUN("not-run"),
    /** A worker may have run the request in part or in full. */
    MAY_HAVE_RUN("may-have-run"),
    /** A worker has answered the request. */
    RAN("ran");

    private final String wireName;

    Verdict(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name used in headers, logs and answers. */
    public String wireName() {
        return wireName;
    }

    /** Returns the later of the two verdicts in declaration order, which covers both attempts. */
    public Verdict and(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
