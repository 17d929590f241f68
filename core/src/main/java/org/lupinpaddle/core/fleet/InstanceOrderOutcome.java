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

/** The outcome of an order on an instance. */
public enum InstanceOrderOutcome {
    /** The order was accepted, now or earlier. */
    TAKEN,
    /** The instance is not up, or is leaving. */
    BUSY,
    /** The instance is not part of the wave. */
    NOT_OF_WAVE,
    /** The instance does not exist, or can not belong to the target pool. */
    IMPOSSIBLE,
    /** A newer owner has sent an order. */
    FENCED,
    /** The order had no effect: the platform is down or the rate limit is used up. */
    REFUSED,
    /** There was no answer: the order may have been carried out, or may still be. */
    UNKNOWN
}
