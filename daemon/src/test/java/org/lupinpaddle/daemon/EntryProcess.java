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
package org.lupinpaddle.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** One entry as a process of its own. */
final class EntryProcess extends JavaProcess {

    final String id;
    final String caller = field("caller");
    final String operator = field("operator");
    final String peer = field("peer");

    private EntryProcess(Path dir, String id, Path config) throws IOException {
        super(dir, id, "org.lupinpaddle.daemon.LupinpaddleMain", "run", "--config", config.toString());
        this.id = id;
    }

    /** Starts an entry with these settings and waits until it listens. */
    static EntryProcess start(Path dir, String id, String toml) throws IOException {
        Path config = dir.resolve(id + ".toml");
        Files.writeString(config, toml);
        return new EntryProcess(dir, id, config);
    }
}
