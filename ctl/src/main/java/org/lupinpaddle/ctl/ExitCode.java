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
package org.lupinpaddle.ctl;

/** The tool's exit codes. */
enum ExitCode {
    /** The query was answered or the change was accepted. */
    DONE(0),
    /** The query or change was refused. */
    REFUSED(1),
    /** The command line is invalid; nothing was sent. */
    WRONG_WORDS(2),
    /** No entry could be reached; nothing was sent. */
    NO_ENTRY(3),
    /** It is unknown whether the change was made. */
    UNKNOWN(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
