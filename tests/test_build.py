import os
import subprocess
import sys
import time
from pathlib import Path

import pytest
from localfleet import fetch, pick_ports

ROOT = Path(__file__).parent.parent


@pytest.fixture(scope="module")
def program(tmp_path_factory):
    folder = tmp_path_factory.mktemp("build")
    environment = os.environ | {"BUILD_FOLDER": str(folder)}
    environment["BIN"] = str(Path(sys.executable).parent)
    command = [str(ROOT / "tools" / "build.sh")]
    subprocess.run(command, env=environment, check=True, capture_output=True)
    return folder / "bulrushbend"


def start(program, folder, *arguments):
    # The interpreter is explicit because python3 on the path may be a shell script that
    # starts child processes before it executes the interpreter.
    environment = {"PATH": os.environ["PATH"], "SHIV_ROOT": str(folder)}
    return subprocess.Popen(
        [sys.executable, program, *arguments],
        env=environment,
        cwd=folder,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def children(pid):
    tasks = Path(f"/proc/{pid}/task").glob("*/children")
    return [child for task in tasks for child in task.read_text().split()]


def test_first_start_creates_no_child_processes(program, tmp_path):
    # Guards against bytecode compilation in child processes while unpacking.
    address = f"127.0.0.1:{pick_ports(1)[0]}"
    process = start(program, tmp_path, "standin", "platform", "--http-address", address)
    child_pids = []
    while process.poll() is None and not serves(address):
        child_pids += children(process.pid)
        time.sleep(0.01)
    child_pids += children(process.pid)
    process.terminate()
    assert process.wait(10) == 0
    assert child_pids == []


def serves(address):
    try:
        return fetch(f"http://{address}/vms")[0] == 200
    except OSError:
        return False


def test_concurrent_first_starts_succeed(program, tmp_path):
    # Guards against processes that disturb each other while they unpack the archive.
    processes = [start(program, tmp_path, "--help") for _ in range(6)]
    outputs = [process.communicate(timeout=60) for process in processes]
    assert [process.returncode for process in processes] == [0] * 6
    assert all("SYNOPSIS" in output for output, _ in outputs)
    assert len(list(tmp_path.glob("bulrushbend_*"))) == 1


def test_program_contains_no_development_packages(program, tmp_path):
    # Guards against development packages in the archive.
    start(program, tmp_path, "--help").communicate(timeout=60)
    names = {path.name for path in tmp_path.glob("*/site-packages/*")}
    assert {"tornado", "grpclib", "bulrushbend"} <= names
    assert names.isdisjoint({"pytest", "ruff", "numpy", "matplotlib", "grpc_tools"})
