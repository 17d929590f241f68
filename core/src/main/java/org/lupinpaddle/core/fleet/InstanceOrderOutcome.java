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
package org.lupinpaddle.core.fleet;

/** What became of an order on an instance. */
public enum InstanceOrderOutcome {
    /** Taken, now or before. */
    TAKEN,
    /** The instance is not up, or is leaving. */
    BUSY,
    /** The instance is not one of the wave. */
    NOT_OF_WAVE,
    /** There is no such instance, or it does not belong into such a pool. */
    IMPOSSIBLE,
    /** A newer owner has given an order. */
    FENCED,
    /** Nothing was done: the platform is down, or the rate is used up. */
    REFUSED,
    /** No answer: it may have been done, or may still be done. */
    UNKNOWN
}
