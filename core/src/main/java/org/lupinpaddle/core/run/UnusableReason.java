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

/** Why a worker may not be given new tasks, apart from a cordon of its hall. */
enum UnusableReason {
    UNLISTED,
    NOT_ANSWERED_YET,
    OTHER_INCARNATION,
    DRAINING,
    EVACUATING,
    OTHER_SERVICE,
    SILENT,
    UNRESPONSIVE,
    RECORDS_UNSAVED,
    AVOIDED;

    /** Returns whether the worker may be given new tasks again within seconds, as far as is known. */
    boolean isTemporary() {
        return switch (this) {
            case UNRESPONSIVE, RECORDS_UNSAVED, AVOIDED -> true;
            case UNLISTED, NOT_ANSWERED_YET, OTHER_INCARNATION, DRAINING, EVACUATING, OTHER_SERVICE, SILENT -> false;
        };
    }
}
