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
package org.lupinpaddle.core.run;

/** Why a poll carries no deadline, so that it does not extend the runs of its worker. */
enum ExtensionHindrance {
    /** The worker may have restarted since its last answer, and the deadline would refer to an earlier clock. */
    INCARNATION_UNCONFIRMED,
    /** A record that states an earlier end of a run may still be in the store. */
    RECORDS_UNSAVED
}
